package gateway

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// Keys under which a copy of what VMs know is kept, in a topic of its own. The store may lose sight of single topics
// while all VMs are restarted.
const (
	copyKeyDeclarations = "Declarations"
	copyKeyReplicas     = "Replicas"
)

const (
	// copyPeriod is how often the VM that ranks first looks whether the copy is to be written anew.
	copyPeriod = time.Second
	// copyTimeout bounds one call for the copy.
	copyTimeout = 1500 * time.Millisecond
	// maxCopyBytes is below the largest record that the store takes.
	maxCopyBytes = 200 << 10
	// copyRetry is the pause after a failed reading.
	copyRetry = 300 * time.Millisecond
)

// Copies is where the copy is kept.
type Copies struct {
	Put    func(ctx context.Context, key string, value []byte) error
	Newest func(ctx context.Context) ([]follow.Record, error)
}

// known is what a VM knows that is worth a copy.
type known struct {
	first    bool
	table    *routing.Table
	replicas []placement.Replica
}

// knownNow returns what is known, and whether this VM ranks first among those that are heard.
func (c *Controller) knownNow() known {
	return ask(c, func() known {
		k := known{first: true, table: c.table.Load()}
		for name, p := range c.peers {
			if name < c.self.VM && !p.silent && !p.leaving {
				k.first = false
			}
		}
		for _, replica := range c.board.Replicas() {
			if !replica.Doubtful {
				k.replicas = append(k.replicas, replica)
			}
		}
		return k
	})
}

// KeepCopy writes the declarations and the replicas whenever they have changed, until ctx is done, while this VM ranks
// first. Two VMs that both do write the same.
func (c *Controller) KeepCopy(ctx context.Context, copies Copies) {
	written := map[string]string{}
	ticker := time.NewTicker(copyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k := c.knownNow()
		if !k.first || k.table == nil || len(k.replicas) == 0 {
			clear(written)
			continue
		}
		c.writeCopy(ctx, copies, written, copyKeyDeclarations, k.table.Declarations)
		c.writeCopy(ctx, copies, written, copyKeyReplicas, k.replicas)
	}
}

func (c *Controller) writeCopy(ctx context.Context, copies Copies, written map[string]string, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.log.Error("copy-not-written", zap.String("Key", key), zap.Error(err))
		return
	}
	if written[key] == string(data) {
		return
	}
	if len(data) > maxCopyBytes {
		written[key] = string(data)
		c.log.Warn("copy-too-large", zap.String("Key", key), zap.Int("Bytes", len(data)))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	if err := copies.Put(callCtx, key, data); err != nil {
		c.log.Info("copy-not-written", zap.String("Key", key), zap.Error(err))
		return
	}
	written[key] = string(data)
	c.log.Info("copy-written", zap.String("Key", key), zap.Int("Bytes", len(data)))
}

// ReadCopy takes the copy at the start of a process, as far as nothing newer is known.
func (c *Controller) ReadCopy(ctx context.Context, copies Copies) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		records, err := copies.Newest(callCtx)
		cancel()
		if err == nil {
			c.adoptCopy(records)
			return
		}
		c.log.Info("copy-not-read", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(copyRetry):
		}
	}
}

func (c *Controller) adoptCopy(records []follow.Record) {
	for _, record := range records {
		var err error
		switch record.Key {
		case copyKeyDeclarations:
			var d routing.Declarations
			if err = json.Unmarshal(record.Value, &d); err == nil {
				c.SetDeclarations(d)
			}
		case copyKeyReplicas:
			var replicas []placement.Replica
			if err = json.Unmarshal(record.Value, &replicas); err == nil {
				c.adoptReplicas(replicas)
			}
		}
		if err != nil {
			c.log.Warn("copy-unreadable", zap.String("Key", record.Key), zap.Error(err))
		}
	}
}

// adoptReplicas takes replicas of the copy, unless the list itself has been read.
func (c *Controller) adoptReplicas(replicas []placement.Replica) {
	c.post(func() {
		if c.replicas.listed {
			return
		}
		for _, replica := range replicas {
			c.board.SetReplica(replica)
		}
		c.log.Info("replicas-adopted", zap.Int("Replicas", len(replicas)))
	})
}
