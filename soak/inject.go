package soak

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// entryDelay is the time between the start of a replica and its entry, and entryExpiry between its entry and the removal of that of
	// the replica before it.
	entryDelay  = 300 * time.Millisecond
	entryExpiry = 600 * time.Millisecond
	// drainDelay is how long a replica serves after its entry says that it leaves.
	drainDelay = 1500 * time.Millisecond
	// reuseDelay is the time between the removal of a replica's entry and the next use of its address by another service.
	reuseDelay = 2 * time.Second
	// herdSpared is one in how many VMs a kill of most spares.
	herdSpared = 3
	// storeDelayMillis is the delay of answers of a slow store.
	storeDelayMillis = 700
)

// inject executes the plan, the steps of each target one after the other, until ctx is done.
func (s *site) inject(ctx context.Context, plan Plan, wg *sync.WaitGroup) {
	start := time.Now()
	execute := func(target string, apply func(step)) {
		wg.Go(func() {
			for _, f := range plan.stepsOf(target) {
				sleep(ctx, f.at-time.Since(start))
				if ctx.Err() != nil {
					return
				}
				apply(f)
			}
		})
	}
	for n, v := range s.vms {
		execute(vmName(n), func(f step) { logError(v.apply(ctx, f)) })
	}
	for n, r := range s.replicas {
		execute(replicaName(n), func(f step) { logError(r.apply(ctx, f)) })
	}
	execute(herdTarget, func(f step) { s.killHerd(ctx, f.duration) })
	execute(storeTarget, func(f step) { applyToStore(ctx, s.store, f) })
}

func logError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// pause stops a process for some time.
func (p *process) pause(ctx context.Context, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(syscall.SIGCONT)
}

func (v *vm) apply(ctx context.Context, f step) error {
	v.faulty.Lock()
	defer v.faulty.Unlock()
	switch f.action {
	case actionPause:
		v.pause(ctx, f.duration)
		return nil
	case actionStop:
		v.end(syscall.SIGTERM)
	case actionKill:
		v.end(syscall.SIGKILL)
		sleep(ctx, f.duration)
	}
	return v.run()
}

func (r *replica) apply(ctx context.Context, f step) error {
	old := r.cfg.ID
	switch f.action {
	case actionPause:
		r.pause(ctx, f.duration)
		return nil
	case actionResets:
		r.signal(resetSignal)
		return nil
	case actionRelease:
		return r.release(ctx)
	case actionDark:
		r.signal(syscall.SIGSTOP)
		sleep(ctx, f.duration)
	case actionReplace:
		r.putEntry("draining")
		sleep(ctx, drainDelay)
	case actionUpgrade, actionRestart:
		r.cfg.Version = otherVersion(r.cfg.Version)
	}
	if ctx.Err() != nil {
		return nil
	}
	r.kill()
	if f.action == actionGone {
		sleep(ctx, entryExpiry)
		r.store.PutReplica(old, nil)
		return nil
	}
	if f.action == actionReuse {
		sleep(ctx, entryExpiry)
		r.store.PutReplica(old, nil)
		sleep(ctx, reuseDelay)
		r.takePlace(r.otherPlace())
	}
	if f.action != actionRestart && f.action != actionReborn {
		r.nextID()
	}
	if f.action != actionRestart {
		sleep(ctx, cmp.Or(r.restartDelay, f.duration))
	}
	if ctx.Err() != nil {
		return nil
	}
	return r.startAgain(ctx, old)
}

// release starts a new process at the other address, and ends the one before it after a drain.
func (r *replica) release(ctx context.Context) error {
	old := *r
	r.instance = r.instances[0]
	if old.instance == r.instance {
		r.instance = r.instances[1]
	}
	r.nextID()
	if err := r.startAgain(ctx, r.cfg.ID); err != nil {
		return err
	}
	old.putEntry("draining")
	sleep(ctx, drainDelay)
	old.kill()
	sleep(ctx, entryExpiry)
	r.store.PutReplica(old.cfg.ID, nil)
	return nil
}

// killHerd kills most VMs at once, and starts them again after d.
func (s *site) killHerd(ctx context.Context, d time.Duration) {
	var wg sync.WaitGroup
	for n, v := range s.vms {
		if n%herdSpared == 0 || !v.faulty.TryLock() {
			continue
		}
		wg.Go(func() {
			defer v.faulty.Unlock()
			v.end(syscall.SIGKILL)
			sleep(ctx, d)
			logError(v.run())
		})
	}
	wg.Wait()
}

// startAgain starts a replica after its process has ended, and updates its entries a little later. The old ID is that of the process before.
func (r *replica) startAgain(ctx context.Context, old string) error {
	if err := r.run(); err != nil {
		return err
	}
	sleep(ctx, entryDelay)
	r.putEntry("ready")
	if r.cfg.ID != old {
		sleep(ctx, entryExpiry)
		r.store.PutReplica(old, nil)
	}
	return nil
}

func otherVersion(version string) string {
	if version == softwareVersions[0] {
		return softwareVersions[1]
	}
	return softwareVersions[0]
}

func applyToStore(ctx context.Context, store *standin.Store, f step) {
	faults := map[action]standin.Faults{
		actionDelay:   {DelayMillis: storeDelayMillis},
		actionSilence: {Silent: true},
		actionDown:    {Down: true},
	}
	store.SetFaults(faults[f.action])
	sleep(ctx, f.duration)
	store.SetFaults(standin.Faults{})
}
