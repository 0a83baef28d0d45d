package command

import (
	"context"
	"fmt"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/mesh"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/platform"
	"github.com/springgate/springgate/quarantine"
	"github.com/springgate/springgate/settings"
	"github.com/springgate/springgate/sidecar"
	"github.com/springgate/springgate/telemetry"
	"github.com/springgate/springgate/weights"
	"github.com/urfave/cli/v3"
)

// sidecarCommand returns the command that runs the agent of gateway mode, which manages the
// engine's weights and is not on the path of requests.
func sidecarCommand() *cli.Command {
	var f platformFlags
	set := &settings.Set{}
	f.add(set)
	return &cli.Command{Name: "sidecar", Usage: "run the agent next to an engine on the platform, with the settings from the file that " + platform.SettingsVariable + " names",
		Flags: set.Flags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			return runSidecar(f)
		}}
}

// entrySource fetches weights from the entries.
type entrySource struct {
	mesh *mesh.Mesh
	call weights.PeerCall
}

// Manifest implements sidecar.Source.
func (e entrySource) Manifest(ctx context.Context, model string, version int) (*weights.Manifest, error) {
	msg, err := e.fetch(ctx, weights.ManifestKey(model, version), &peer.GetManifest{Model: model, Version: version})
	if err != nil {
		return nil, err
	}
	return weights.DecodeManifest(model, version, msg)
}

// maxSources is the maximum number of entries tried in turn.
const maxSources = 2

// fetchTimeout bounds a request to one entry. The origin takes 2 s to send a complete
// version, and the host's link takes 2 s to receive one.
const fetchTimeout = 3 * time.Second

// fetch requests key from the nearest entries in turn until one provides it.
func (e entrySource) fetch(ctx context.Context, key string, q peer.Message) (peer.Message, error) {
	err := weights.ErrNoSource
	for _, addr := range e.mesh.Nearest(key, maxSources) {
		var msg peer.Message
		if msg, err = e.fetchFrom(ctx, addr, q); err == nil {
			return msg, nil
		}
	}
	return nil, err
}

func (e entrySource) fetchFrom(ctx context.Context, addr string, q peer.Message) (peer.Message, error) {
	ctx, cancel := clock.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	msg, err := e.call(ctx, addr, q)
	if err != nil {
		return nil, err
	}
	if !weights.HasContent(msg) {
		return nil, weights.ErrNoSource
	}
	return msg, nil
}

// Piece implements sidecar.Source.
func (e entrySource) Piece(ctx context.Context, m *weights.Manifest, index int) ([]byte, error) {
	msg, err := e.fetch(ctx, weights.PieceKey(m.Model, m.Version, index), &peer.GetPiece{Model: m.Model, Version: m.Version, Index: index})
	if err != nil {
		return nil, err
	}
	blob, ok := msg.(*peer.Blob)
	if !ok {
		return nil, fmt.Errorf("%w: piece %d", weights.ErrNoSource, index)
	}
	return blob.Data, m.Verify(index, blob.Data)
}

func runSidecar(f platformFlags) error {
	p, err := newPlatformProcess(f, roleAgent)
	if err != nil {
		return err
	}
	p.pool = peer.NewPool(p.hello(), nil, p.meter)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var agent *sidecar.Sidecar
	network := mesh.New(mesh.Options{Self: p.self, Seeds: p.settings.Seeds, Pool: p.pool, Log: telemetry.Part(p.log, "mesh"),
		Crashes:      quarantine.NewTable(),
		OnAssignment: func(a peer.Assignment) { agent.Assign(clock.Now(), a) },
		OnEntryLost:  func(entry string) { agent.RemoveEntry(entry) }})
	agent = sidecar.New(sidecar.Config{Off: f.off, FirstStart: p.settings.FirstStart}, platform.NewEngines(), p.settings.EngineAddr, entrySource{network, p.call},
		network.PublishEngineState, sidecar.NewStats(p.metrics), telemetry.Part(p.log, "sidecar"))
	peers, err := peer.Listen(p.self.PiecesAddr, p.hello(), agent.ServePiece, p.meter)
	if err != nil {
		return err
	}
	defer peers.Close()
	stopAdmin, err := p.serveAdmin(f, func() bool { return true })
	if err != nil {
		return err
	}
	defer stopAdmin()
	go network.Run(ctx, nil)
	go agent.Run(ctx)
	p.waitForSignal()
	p.logStopped()
	return nil
}
