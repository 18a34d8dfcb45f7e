package gate

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// errNoHome means that no endpoint in a home region of the request's route and workspace could
// serve it.
const errNoHome = errors.ConstError("no home region can serve the request")

// retryHome is the Retry-After of errNoHome. Only a change of the configuration or of the
// endpoints helps, and no other node can serve the request either.
const retryHome = 2 * time.Second

// anywhere is the rule for what may go over each node, since it holds nothing of a caller.
var anywhere homes.Rule

// homeRule returns where the request may go by the home regions of its route and workspace.
func (x *exchange) homeRule() homes.Rule {
	var workspace topol.Homes
	if w := x.owner(); w != nil {
		workspace = w.Homes
	}
	return x.server.Regions.Rule(x.route.Homes, workspace)
}

// owner returns the workspace of the caller's key, also on a public route, where the key
// isn't needed. It returns nil if there is none.
func (x *exchange) owner() *topol.Workspace {
	if x.workspace != nil {
		return x.workspace
	}
	return x.catalog.Keys[x.reqHeader.Key]
}

// isHome reports whether the request may be sent to an endpoint by its home regions.
func (x *exchange) isHome(e *topol.Endpoint) bool { return x.homes.MayServe(e.DataCentre) }

// withinHomes returns those of some endpoints that the request may be sent to by its home
// regions.
func (x *exchange) withinHomes(es []*topol.Endpoint) []*topol.Endpoint {
	if !x.homes.Binds() {
		return es
	}
	return slices.DeleteFunc(slices.Clone(es), func(e *topol.Endpoint) bool { return !x.isHome(e) })
}

// hasNoHome reports whether the request has home regions and no endpoint that is listed for its
// service is in one of them. A service without endpoints is another case, unless no data
// centre is in a home region either.
func (x *exchange) hasNoHome() bool {
	if !x.homes.Binds() {
		return false
	}
	es := x.server.Feeds.Endpoints().ByService[x.service.Name]
	if len(es) == 0 {
		return !x.homes.HasHome()
	}
	return !slices.ContainsFunc(es, x.isHome)
}

// recordNoHome counts a request that no home region can serve. The first one that is rejected
// since the settings name no region of a data centre is logged as a fault of the settings.
func (x *exchange) recordNoHome() {
	s := x.server
	s.getMetrics().noHome.Inc()
	if !s.Regions.Known() {
		s.noRegionsOnce.Do(func() {
			s.Logger.Error().Str("route", string(x.route.Name)).Msg("gate: requests with home regions are rejected, the settings name no region of a data centre")
		})
	}
}

// logRegions logs what the node knows of regions, at its start.
func (s *Server) logRegions() {
	if s.Regions.Own == "" && !s.Regions.Known() {
		return
	}
	s.Logger.Info().Str("region", string(s.Regions.Own)).Int("dataCentres", len(s.Regions.Of)).Msg("gate: regions of the settings")
	if s.Regions.Contradicts(s.DataCentre) {
		s.Logger.Warn().Str("region", string(s.Regions.Own)).Str("dataCentre", string(s.DataCentre)).Str("regionOfDataCentre", string(s.Regions.Of[s.DataCentre])).
			Msg("gate: settings name another region for this node than for its data centre")
	}
}

// homeNames returns the home regions of the request for a log line.
func (x *exchange) homeNames() []string {
	names := func(h topol.Homes) (ns []string) {
		for _, r := range h.Regions() {
			ns = append(ns, string(r))
		}
		return ns
	}
	ns := names(x.route.Homes)
	if w := x.owner(); w != nil && w.Homes != "" && w.Homes != x.route.Homes {
		ns = append(ns, names(w.Homes)...)
	}
	return ns
}
