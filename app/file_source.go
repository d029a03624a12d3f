package app

import (
	"context"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/declaration"
	"github.com/cassiabridge/cassiabridge/gateway"
	"github.com/cassiabridge/cassiabridge/settings"
)

// ownReadinessPath is where balancers ask whether a VM takes connections that finds its declarations in a file.
const ownReadinessPath = "/readyz"

// newFileSource returns a source that reads a file at the start and at each reload.
func newFileSource(cfg settings.Settings, log *zap.Logger) (source, error) {
	path := cfg.Gateway.File
	content, err := declaration.Load(path)
	if err != nil {
		return source{}, err
	}
	apply := func(control *gateway.Controller, content declaration.Content) {
		log.Info("file-read", zap.String("File", path), zap.Uint64("Version", content.Declarations.Version), zap.Int("Upstreams", len(content.Upstreams)))
		control.SetDeclarations(content.Declarations)
		control.ApplyReplicas(gateway.ReplicaUpdate{Listed: content.Upstreams, Whole: true})
		for name, address := range content.VMs {
			control.ListVM(name, address)
		}
	}
	return source{
		protocol: gateway.OwnProtocol(), readinessPath: ownReadinessPath,
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
