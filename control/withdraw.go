package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/roster"
)

// withdrawRetryInterval is the time between attempts to append a withdrawal.
const withdrawRetryInterval = 2 * time.Second

// withdrawal is a key that this VM refuses although its withdrawal is not in the log yet.
type withdrawal struct {
	triedAt time.Time
	// actor is the operator who withdrew the key.
	actor string
}

// WithdrawResult reports the progress of a withdrawal.
type WithdrawResult struct {
	// Logged reports whether the withdrawal is in the log and thus durable.
	Logged bool
	// Told lists the VMs that refuse the key; Untold lists those that could not be reached.
	Told   []string
	Untold []string
}

// WithdrawKey refuses a key on this VM immediately, notifies all peers directly and logs the
// withdrawal. If the log is unavailable, the withdrawal is appended once it is available again. The
// error has the kind ErrRejected if the key does not exist.
func (c *Controller) WithdrawKey(ctx context.Context, key, actor string) (WithdrawResult, error) {
	ref := resource.Ref{Kind: resource.KindKey, Name: key}
	if _, exists := c.Snapshot().State.Document(ref); !exists {
		return WithdrawResult{}, &Error{Op: "withdraw " + key, Kind: ErrRejected, Err: errors.New("the key does not exist")}
	}
	withdrawn := roster.Withdrawal{Key: key, Actor: actor}
	links := postAndWait(c, func() map[string]*peerLink {
		c.addWithdrawals([]roster.Withdrawal{withdrawn})
		links := map[string]*peerLink{}
		for vm, link := range c.links {
			links[vm] = link
		}
		return links
	})
	logged := make(chan bool, 1)
	go func() {
		_, err := c.Append(ctx, catalog.Record{Actor: actor, Withdraw: &catalog.Withdraw{Key: key}})
		logged <- err == nil
	}()
	result := c.notifyPeers(ctx, withdrawn, links)
	result.Logged = <-logged
	return result, nil
}

func (c *Controller) notifyPeers(ctx context.Context, withdrawn roster.Withdrawal, links map[string]*peerLink) WithdrawResult {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timing.PeerDead())
	defer cancel()
	result := WithdrawResult{Told: []string{c.self.VM}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for vm, link := range links {
		calls.Go(func() {
			err := link.Withdraw(ctx, []roster.Withdrawal{withdrawn})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.Untold = append(result.Untold, vm)
				return
			}
			result.Told = append(result.Told, vm)
		})
	}
	calls.Wait()
	return result
}

// addWithdrawals makes this VM refuse keys from now on and cancels the requests that use them.
func (c *Controller) addWithdrawals(withdrawn []roster.Withdrawal) {
	state, _ := c.replay.State()
	added := false
	for _, w := range withdrawn {
		key := w.Key
		if _, known := c.withdrawn[key]; known || isWithdrawnOrMissing(state, key) {
			continue
		}
		c.withdrawn[key] = withdrawal{triedAt: c.now(), actor: w.Actor}
		c.log.Info("key-withdrawn", zap.String("Key", key))
		added = true
	}
	if added {
		c.rebuildView(state)
	}
}

// isWithdrawnOrMissing reports whether the key is withdrawn or missing in the replicated state.
func isWithdrawnOrMissing(state catalog.State, name string) bool {
	doc, exists := state.Document(resource.Ref{Kind: resource.KindKey, Name: name})
	if !exists {
		return true
	}
	spec, err := resource.Decode(doc)
	key, ok := spec.(resource.Key)
	return err == nil && ok && key.Withdrawn
}

// logWithdrawals appends withdrawals that are not in the log if this VM is the preferred one for
// the key. It forgets those that are in the log.
func (c *Controller) logWithdrawals(now time.Time) {
	state, _ := c.replay.State()
	for key, w := range c.withdrawn {
		if c.caughtUp && isWithdrawnOrMissing(state, key) {
			delete(c.withdrawn, key)
			continue
		}
		if now.Sub(w.triedAt) < withdrawRetryInterval || c.roster.PreferredVM("withdraw/"+key, now) != c.self.VM {
			continue
		}
		w.triedAt = now
		c.withdrawn[key] = w
		c.appendAsync(catalog.Record{Actor: w.actor, Withdraw: &catalog.Withdraw{Key: key}}, nil)
	}
}
