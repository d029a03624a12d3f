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

// withdrawRetry is the period at which a withdrawal that is not in the log is appended again.
const withdrawRetry = 2 * time.Second

// withdrawal is a key that is refused here although the log does not say so yet.
type withdrawal struct {
	triedAt time.Time
	// actor is the operator who withdrew the key.
	actor string
}

// WithdrawResult says how far a withdrawal has come.
type WithdrawResult struct {
	// Logged says that the withdrawal is in the log and so lasts.
	Logged bool
	// Told lists the VMs that refuse the key already; Untold those that could not be reached.
	Told   []string
	Untold []string
}

// WithdrawKey refuses a key on this VM at once, tells all peers directly and logs it. It works while the
// log is down; the log then gets it when it is back.
func (c *Controller) WithdrawKey(ctx context.Context, key, actor string) (WithdrawResult, error) {
	ref := resource.Ref{Kind: resource.KindKey, Name: key}
	if _, exists := c.Snapshot().State.Document(ref); !exists {
		return WithdrawResult{}, &Error{Op: "withdraw " + key, Kind: ErrRejected, Err: errors.New("the key does not exist")}
	}
	withdrawn := roster.Withdrawal{Key: key, Actor: actor}
	links := ask(c, func() map[string]*peerLink {
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
	result := c.tellWithdrawn(ctx, withdrawn, links)
	result.Logged = <-logged
	return result, nil
}

func (c *Controller) tellWithdrawn(ctx context.Context, withdrawn roster.Withdrawal, links map[string]*peerLink) WithdrawResult {
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

// addWithdrawals refuses keys from now on.
func (c *Controller) addWithdrawals(withdrawn []roster.Withdrawal) {
	state, _ := c.replay.State()
	added := false
	for _, told := range withdrawn {
		key := told.Key
		if _, known := c.withdrawn[key]; known || isLoggedWithdrawal(state, key) {
			continue
		}
		c.withdrawn[key] = withdrawal{triedAt: c.now(), actor: told.Actor}
		c.log.Info("key-withdrawn", zap.String("Key", key))
		added = true
	}
	if added {
		c.rebuildView(state)
	}
}

// isLoggedWithdrawal reports whether the log says that a key is withdrawn, or no longer has it.
func isLoggedWithdrawal(state catalog.State, name string) bool {
	doc, exists := state.Document(resource.Ref{Kind: resource.KindKey, Name: name})
	if !exists {
		return true
	}
	spec, err := resource.Decode(doc)
	key, ok := spec.(resource.Key)
	return err == nil && ok && key.Withdrawn
}

// logWithdrawals appends the withdrawals that are not in the log, from the VM that ranks first, and
// forgets those that are.
func (c *Controller) logWithdrawals(now time.Time) {
	state, _ := c.replay.State()
	for key, w := range c.withdrawn {
		if c.headRead && isLoggedWithdrawal(state, key) {
			delete(c.withdrawn, key)
			continue
		}
		if now.Sub(w.triedAt) < withdrawRetry || c.roster.First("withdraw/"+key, now) != c.self.VM {
			continue
		}
		w.triedAt = now
		c.withdrawn[key] = w
		c.appendLater(catalog.Record{Actor: w.actor, Withdraw: &catalog.Withdraw{Key: key}}, nil)
	}
}
