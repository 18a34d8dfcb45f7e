package fleet

import (
	"context"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/lab/logsrv"
	"laburnumstack.org/laburnum/internal/lab/plain"
	"laburnumstack.org/laburnum/internal/lab/vmlist"
	"laburnumstack.org/laburnum/internal/lab/weight"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// appendRate is the maximum number of appends per second that the log
	// accepts.
	appendRate = 400
	// vmListLag is the time until a change of the VM list is visible.
	vmListLag = 2 * time.Second
	// loadReportLag is the age of the load that the engines report.
	loadReportLag = 200 * time.Millisecond
	// cacheEventLossPercent is the percentage of cache events that the engines
	// lose.
	cacheEventLossPercent = 5
	// serviceTime is the time that a plain service takes for a request.
	serviceTime = 3 * time.Millisecond
)

// standIn is a server that stands in for a part of the platform, an engine or a
// plain service.
type standIn interface {
	Listen() error
	Run(context.Context) error
}

func (f *Fleet) runStandIn(s standIn) error {
	if err := s.Listen(); err != nil {
		return errors.Trace(err)
	}
	f.group.Go(func() error { return s.Run(f.ctx) })
	return nil
}

func (f *Fleet) startPlatform() error {
	f.Log = &logsrv.Server{Address: listenAddress, AppendRate: appendRate, Retention: retention}
	f.VMs = &vmlist.Server{Address: listenAddress, Lag: vmListLag}
	f.WeightStore = &weight.Server{Address: listenAddress, Interval: time.Second}
	for _, s := range []standIn{f.Log, f.VMs, f.WeightStore} {
		if err := f.runStandIn(s); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEndpoints() error {
	settings := engsim.DefaultSettings()
	if f.EngineSettings != nil {
		settings = *f.EngineSettings
	}
	for i := range f.Plan.Engines {
		e := &engsrv.Server{
			Address: listenAddress, EngineSettings: settings, Models: []ident.ModelName{f.Plan.Model},
			ChecksOrders: i%2 == 0, Lag: loadReportLag, EventLossPercent: cacheEventLossPercent,
			WeightStore: f.WeightStore.Address, Seed: f.Seed + uint64(i), PoisonText: f.PoisonText,
		}
		if err := f.runStandIn(e); err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
		f.setVM(string(f.Plan.EngineName(i)), e.Address, i, false)
	}
	f.Runs = plain.NewRunCounter()
	for i := range f.Plan.Services {
		s := &plain.Server{Address: listenAddress, ServiceTime: serviceTime, Runs: f.Runs}
		if err := f.runStandIn(s); err != nil {
			return err
		}
		f.Services = append(f.Services, s)
		f.setVM(string(f.Plan.ServiceName(i)), s.Address, i, false)
	}
	f.RunsServer = &plain.Server{Address: listenAddress, Runs: f.Runs, OnlyRuns: true}
	return f.runStandIn(f.RunsServer)
}

func (f *Fleet) setVM(name, address string, i int, leaving bool) {
	f.VMs.Set(vmlist.VM{Name: name, Address: address, DataCentre: f.Plan.DataCentre(i), Role: "Endpoint", Leaving: leaving})
}

// MarkLeaving marks an engine as leaving. The engine rejects new requests at once
// and reports that it is leaving after loadReportLag; the VM list shows it after
// vmListLag.
func (f *Fleet) MarkLeaving(i int) {
	f.Engines[i].SetLeaving(true)
	f.setVM(string(f.Plan.EngineName(i)), f.Engines[i].Address, i, true)
}
