package app

import (
	"context"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/declaration"
	"github.com/cassiabridge/cassiabridge/gateway"
	"github.com/cassiabridge/cassiabridge/settings"
)

// fileReadinessPath is the path of the readiness check on VMs that read their declarations from a file.
const fileReadinessPath = "/readyz"

// newFileSource returns a configSource that reads cfg.Gateway.File now and at each reload.
func newFileSource(cfg settings.Settings, log *zap.Logger) (configSource, error) {
	path := cfg.Gateway.File
	content, err := declaration.Load(path)
	if err != nil {
		return configSource{}, err
	}
	apply := func(control *gateway.Controller, content declaration.Content) {
		log.Info("file-read", zap.String("File", path), zap.Uint64("Version", content.Declarations.Version), zap.Int("Upstreams", len(content.Upstreams)))
		control.SetDeclarations(content.Declarations)
		control.ApplyReplicas(gateway.ReplicaUpdate{Listed: content.Upstreams, Snapshot: true})
		for name, address := range content.VMs {
			control.RegisterVM(name, address)
		}
	}
	return configSource{
		protocol: gateway.NativeProtocol(), readinessPath: fileReadinessPath,
		run: func(ctx context.Context, control *gateway.Controller) {
			apply(control, content)
			<-ctx.Done()
		},
		reload: func(control *gateway.Controller) error {
			content, err := declaration.Load(path)
			if err == nil {
				apply(control, content)
			}
			return err
		},
	}, nil
}
