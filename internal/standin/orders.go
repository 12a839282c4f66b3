package standin

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/httpcall"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// maxOrders bounds the number of orders whose results are kept.
const maxOrders = 1024

// orderTracker holds the results of recent orders by order ID and the highest
// fencing token.
type orderTracker struct {
	checksFence bool
	highest     uint64
	answers     map[string]port.OrderResult
	recent      []string
}

func newOrderTracker(checksFence bool) *orderTracker {
	return &orderTracker{checksFence: checksFence, answers: make(map[string]port.OrderResult)}
}

// decide accepts or refuses an order. For an order that was accepted before it
// returns the earlier result and repeat is true.
func (b *orderTracker) decide(order port.Order) (result port.OrderResult, repeat bool) {
	if answer, ok := b.answers[order.ID]; ok {
		return answer, true
	}
	if b.checksFence && order.Fence < b.highest {
		return port.OrderResult{HighestFence: b.highest}, false
	}
	b.highest = max(b.highest, order.Fence)
	result = port.OrderResult{Accepted: true}
	if b.checksFence {
		result.HighestFence = b.highest
	}
	b.remember(order.ID, result)
	return result, false
}

func (b *orderTracker) remember(id string, result port.OrderResult) {
	if len(b.recent) >= maxOrders {
		delete(b.answers, b.recent[0])
		b.recent = b.recent[1:]
	}
	b.answers[id] = result
	b.recent = append(b.recent, id)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order port.Order
	if err := upstreamapi.DecodeBounded(r.Body, upstreamapi.MaxErrorBytes, &order); err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_order", err.Error())
		return
	}
	if !orderKinds[order.Kind] {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_order", fmt.Sprintf("kind: unknown order %q", order.Kind))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result, repeat := e.orders.decide(order)
	if result.Accepted && !repeat {
		e.execute(order)
	}
	upstreamapi.WriteJSON(w, http.StatusOK, result)
}

var orderKinds = map[port.OrderKind]bool{
	port.OrderLoadVersion: true, port.OrderUnloadVersion: true,
	port.OrderLoadAdapter: true, port.OrderSetRole: true,
}

// execute starts the execution of an accepted order. e.mu must be held.
func (e *Engine) execute(order port.Order) {
	switch order.Kind {
	case port.OrderLoadVersion:
		e.startLoading(order.Model, order.Version)
	case port.OrderUnloadVersion:
		e.models.unload(order.Model, order.Version)
	case port.OrderLoadAdapter:
		e.models.addAdapter(order.Model, order.Version, order.Adapter)
	case port.OrderSetRole:
		e.models.role = order.Role
	}
	e.announcer.announceNow()
}

func (e *Engine) startLoading(model ident.Model, version ident.Version) {
	if e.models.find(model, version) >= 0 || e.models.isLoading(model, version) {
		return
	}
	e.models.loading = append(e.models.loading, port.LoadedVersion{Model: model, Version: version})
	runCtx := e.runCtx
	go func() {
		if e.fetchWeights(runCtx, model, version) != nil {
			return // the engine has stopped
		}
		e.mu.Lock()
		e.models.finishLoading(model, version)
		e.mu.Unlock()
		e.announcer.announceNow()
	}()
}

// fetchWeights waits until the weights are loaded. It retries failed requests
// to the weight store and returns an error only if ctx is done.
func (e *Engine) fetchWeights(ctx context.Context, model ident.Model, version ident.Version) error {
	if e.options.WeightStore == "" {
		return sleep(ctx, e.options.LoadTime)
	}
	caller := httpcall.NewCaller(e.client, e.options.WeightStore)
	path := PathWeights + url.PathEscape(string(model)) + "/" + url.PathEscape(string(version))
	for {
		if err := caller.Get(ctx, path, upstreamapi.MaxErrorBytes, nil); err == nil {
			return nil
		}
		if err := sleep(ctx, weightRetryDelay); err != nil {
			return err
		}
	}
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := port.EngineState{
		Upstream:    e.options.Upstream,
		Incarnation: e.incarnation,
		Loaded:      e.models.loaded(),
		Loading:     append([]port.LoadedVersion{}, e.models.loading...),
		Role:        e.models.role,
		ChecksFence: e.options.ChecksFence,
	}
	if e.options.ChecksFence {
		state.HighestFence = e.orders.highest
	}
	upstreamapi.WriteJSON(w, http.StatusOK, state)
}
