package resource

// ClientAccount is a customer whose use of routes is limited to a token rate.
type ClientAccount struct {
	Name string `json:"-"`
	// TokensPerSecond is the maximum sustained rate over all VMs, counting prompt and output tokens.
	TokensPerSecond float64
	// BurstTokens is the maximum number of tokens that may be admitted at once.
	BurstTokens float64
	// Weight is the account's relative share of capacity under contention. 0 means 1.
	Weight float64 `json:",omitempty"`
}

func (a ClientAccount) withNameAndDefaults(name string) ClientAccount {
	a.Name = name
	if a.Weight == 0 {
		a.Weight = 1
	}
	return a
}

func (a ClientAccount) check() error {
	return firstError(
		checkRange("TokensPerSecond", a.TokensPerSecond, 1, 1e9),
		checkRange("BurstTokens", a.BurstTokens, 1, 1e10),
		checkRange("Weight", a.Weight, 0.01, 100),
	)
}
