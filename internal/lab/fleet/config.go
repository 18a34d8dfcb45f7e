package fleet

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// adminTimeout bounds each call of a node's admin API.
	adminTimeout = 10 * time.Second
	// configTimeout bounds the wait for a version to be in force at all nodes.
	configTimeout = 10 * time.Second
)

// configure submits the fleet's configuration as a patch, as an operator does.
func (f *Fleet) configure() error {
	var engineAddrs, serviceAddrs []string
	for _, e := range f.Engines {
		engineAddrs = append(engineAddrs, e.Address)
	}
	for _, s := range f.Services {
		serviceAddrs = append(serviceAddrs, s.Address)
	}
	merge, err := json.Marshal(f.Plan.Document(engineAddrs, serviceAddrs, f.Engines[0].EngineSettings.Memory))
	if err != nil {
		return errors.Trace(err)
	}
	verdict, err := f.Patch(merge, 0)
	if err != nil {
		return errors.Annotate(err, "submit the configuration")
	}
	if verdict.Result != admin.Accepted {
		return errors.Errorf("configuration patch is %s: %s", verdict.Result, verdict.Problems)
	}
	return f.AwaitVersion(verdict.Version)
}

// Patch submits a merge patch on a base version to the first node.
func (f *Fleet) Patch(merge json.RawMessage, base ident.Version) (admin.Verdict, error) {
	c := f.Client(0)
	return c.Patch(admin.PatchRequest{ID: ident.PatchID(ident.NewID()), Base: base, Author: "lab", Merge: merge})
}

// Client returns a client of the i-th node's admin API.
func (f *Fleet) Client(i int) *admin.Client {
	return &admin.Client{Address: f.Nodes[i].AdminAddr(), Token: f.AdminToken, Timeout: adminTimeout}
}

// AwaitVersion waits until the version, or a later one, is in force at all nodes.
// It fails if that takes longer than configTimeout.
func (f *Fleet) AwaitVersion(v ident.Version) error {
	end := time.Now().Add(configTimeout)
	for i := range f.Nodes {
		for {
			c, err := f.Client(i).Config()
			if err == nil && c.Version >= v {
				break
			}
			if time.Now().After(end) {
				return errors.Errorf("node %d has not put version %d into force: %v", i, v, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}
