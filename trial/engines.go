package trial

import "time"

// prefillModel computes prompts one after another.
type prefillModel struct {
	name   string
	zone   int
	rate   float64
	busyTo time.Duration
	linkTo time.Duration
	dead   bool
	backed int
}

// decodeModel generates for as many requests at once as it has places; more wait.
type decodeModel struct {
	name    string
	zone    int
	gap     time.Duration
	running int
	waiting []*call
	dead    bool
}

func (d *decodeModel) capacity() float64 {
	return places / (d.gap.Seconds() * meanOutput)
}

// stage is where a call stands in the model.
type stage int

const (
	stageQueue stage = iota
	stagePrefill
	stageHeld
	stageDecode
	stageEnded
)

// call is one request of the model.
type call struct {
	id      int
	try     int
	vm      int
	account int
	prompt  int
	output  int
	// sent counts the tokens that the caller has.
	sent    int
	arrived time.Duration
	first   time.Duration
	ended   time.Duration

	stage    stage
	prefill  *prefillModel
	decode   *decodeModel
	heldFrom time.Duration
	began    time.Duration
	lost     bool
	refused  bool
	uncount  bool
	slow     bool
}

func (c *call) good() bool {
	return c.ended > 0 && !c.lost && !c.refused && c.first-c.arrived <= firstToken && !c.slow
}
