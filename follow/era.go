package follow

import (
	"sync"

	"go.uber.org/zap"
)

// EraTracker holds the newest era that an answer of the store named. The era rises when the store comes back from an older
// copy of its content: what was written since that copy is lost, and its offsets are given out again. It is safe for
// concurrent use.
type EraTracker struct {
	log      *zap.Logger
	onChange func()

	mu  sync.Mutex
	era uint64
}

// NewEraTracker returns an EraTracker that logs each change of the era and then calls onChange, which must not block.
func NewEraTracker(log *zap.Logger, onChange func()) *EraTracker {
	return &EraTracker{log: log, onChange: onChange}
}

// Current returns the newest era that was observed, or 0.
func (t *EraTracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Observe records the era that an answer named. 0 stands for an answer that named none.
func (t *EraTracker) Observe(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return
	}
	from := t.era
	t.era = era
	if from > 0 {
		t.log.Warn("store-restored", zap.Uint64("FromEra", from), zap.Uint64("ToEra", era))
		t.onChange()
	}
}
