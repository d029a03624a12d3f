package resource

// ClientAccount is a customer whose keys may call routes up to a token rate.
type ClientAccount struct {
	Name string `json:"-"`
	// TokensPerSecond bounds the long-run rate over all VMs, in prompt and output tokens.
	TokensPerSecond float64
	// BurstTokens bounds what may be admitted at once, in tokens.
	BurstTokens float64
	// Weight is the share of contended service relative to other accounts. 0 means 1.
	Weight float64 `json:",omitempty"`
}

func (a ClientAccount) named(name string) ClientAccount {
	a.Name = name
	if a.Weight == 0 {
		a.Weight = 1
	}
	return a
}

func (a ClientAccount) check() error {
	return firstError(
		inRange("TokensPerSecond", a.TokensPerSecond, 1, 1e9),
		inRange("BurstTokens", a.BurstTokens, 1, 1e10),
		inRange("Weight", a.Weight, 0.01, 100),
	)
}
