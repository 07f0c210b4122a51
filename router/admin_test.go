package router_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/meter"
	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/demo/local"
	"hornbeamcove.example/fakes"
	"hornbeamcove.example/router"
)

const credential = "MARK-credential"

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startFleet starts a local fleet with two data centres and one upstream per pool in
// each. The prompt "poison" crashes an upstream.
func startFleet(t *testing.T, out io.Writer) *local.Fleet {
	t.Helper()
	spec := local.ExampleSpec(time.Millisecond)
	spec.Centres = spec.Centres[:2]
	for i := range spec.Pools {
		spec.Pools[i].PerCentre = 1
		spec.Pools[i].Opts = append(spec.Pools[i].Opts[:len(spec.Pools[i].Opts):len(spec.Pools[i].Opts)], fakes.WithPoison("poison"))
	}
	spec.Teams[0].Key = "MARK-key"
	spec.Admin = &local.Admin{Credential: credential, Out: out}
	l, err := proc.NewLogger(out, "debug")
	assert.NilError(t, err)
	l.SetLevel(log.DebugLevel)
	spec.Log = l
	f, err := local.Start(t.Context(), spec)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	return f
}

func send(t *testing.T, method, url, key, body string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

// getJSON requests path from an administration listener and decodes the answer into
// v.
func getJSON(t *testing.T, addr wire.Address, path string, v any) {
	t.Helper()
	status, text := send(t, http.MethodGet, "http://"+string(addr)+path, credential, "")
	assert.Equal(t, status, http.StatusOK, text)
	assert.NilError(t, json.Unmarshal([]byte(text), v), text)
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TestNoSecrets guards against leaks through the administration API, the dumps and
// the log: of a team's key or its hash, the operator's credential, a prompt or an
// answer.
func TestNoSecrets(t *testing.T) {
	var out syncBuffer
	f := startFleet(t, &out)
	secrets := []string{"MARK", keyHash("MARK-key"), keyHash("installers-key"), strings.ToUpper(keyHash("MARK-other"))}
	post := func(key, prompt string, stream bool) *local.Reply {
		rep, err := local.Post(t.Context(), f.Routers[0].URL, local.Call{
			Key: key, Pipeline: local.FoldPlan, Stream: stream, Body: map[string]any{"prompt": prompt, "max_tokens": 8},
		})
		assert.NilError(t, err)
		return rep
	}
	for _, stream := range []bool{false, true} {
		rep := post("MARK-key", "MARK-prompt", stream)
		assert.Assert(t, rep.Answer != nil, "%v", rep.Refusal)
		var generated struct{ Text string }
		assert.NilError(t, json.Unmarshal(rep.Answer.Output, &generated))
		assert.Assert(t, len(generated.Text) > 8)
		secrets = append(secrets, generated.Text)
	}
	post("MARK-wrong", "MARK-prompt", false)
	rep := post("MARK-key", "MARK-prompt poison", false)
	assert.Assert(t, rep.Refusal != nil && rep.Refusal.Reason == wire.ReasonQuarantined && rep.Refusal.Executed == wire.ExecutedSome, "%v", rep.Refusal)
	always := 1.0
	for _, u := range f.Upstreams {
		if u.Plain != nil {
			_ = u.Plain.Apply(fakes.Fault{Fail: &always})
		}
	}
	post("MARK-key", "MARK-prompt refused", false)
	// The hash is in upper case, so the ticket is refused.
	bad := wire.Object{Kind: wire.ObjectKindKey, Name: "bad", Key: &wire.Key{Team: local.TeamFolders, Hash: wire.KeyHash(secrets[3])}}
	number, err := f.Publish(bad)
	assert.NilError(t, err)
	good := fmt.Sprintf(`{"number":%d,"objects":[{"kind":"key","name":"folders-1","key":{"team":"folders","hash":%q}},
		{"kind":"key","name":"folders-2","key":{"team":"folders","hash":%q}}]}`, number+1, keyHash("MARK-new"), keyHash("MARK-key"))
	secrets = append(secrets, keyHash("MARK-new"))
	assert.NilError(t, f.Await(t.Context(), func() error {
		var ts admin.Tickets
		getJSON(t, f.Routers[0].Admin, "/v1/tickets", &ts)
		if len(ts.Tickets) == 0 {
			return fmt.Errorf("no rejected ticket")
		}
		return nil
	}))

	var answers strings.Builder
	collect := func(method, addr, path, key, body string) {
		status, text := send(t, method, addr+path, key, body)
		assert.Assert(t, status < 500, "%s %s: %d", method, path, status)
		fmt.Fprintln(&answers, path, text)
	}
	addr := "http://" + string(f.Routers[0].Admin)
	for _, path := range []string{
		"/state", "/metrics", "/healthz", "/readyz", "/v1/objects?deleted=true", "/v1/objects?kind=key", "/v1/tickets", "/v1/upstreams",
		"/v1/teams", "/v1/quarantines", "/v1/centres/palermo", "/v1/counts", "/v1/accounts/refusals", "/v1/accounts/costs", "/v1/unknown",
	} {
		collect("GET", addr, path, credential, "")
	}
	collect("GET", addr, "/state", "MARK-nobody", "")
	collect("POST", addr, "/v1/check", credential, good)
	collect("POST", addr, "/v1/check", credential, strings.Replace(good, keyHash("MARK-new"), secrets[3], 1))
	collect("GET", f.Routers[0].URL, "/v1/accounts", "MARK-key", "")
	for _, u := range f.Upstreams {
		for _, path := range []string{"/state", "/v1/report", "/v1/accounts/costs"} {
			collect("GET", "http://"+string(u.Admin), path, credential, "")
		}
	}
	assert.Assert(t, strings.Contains(out.String(), "request refused") && strings.Contains(out.String(), "stage failed"))
	var counts admin.Counts
	getJSON(t, f.Routers[0].Admin, "/v1/counts", &counts)
	checkEventLines(t, out.String(), string(f.Routers[0].Name), counts.Counts)
	for _, source := range []struct{ name, text string }{{"answers", answers.String()}, {"log", out.String()}} {
		for _, secret := range secrets {
			at := strings.Index(source.text, secret)
			if at >= 0 {
				t.Errorf("%s hold %q: ...%.300s", source.name, secret, source.text[max(0, at-200):])
			}
		}
	}
}

// checkEventLines checks that the log of a process has as many lines of each event
// as its counters say.
func checkEventLines(t *testing.T, text, process string, counts []meter.Total) {
	t.Helper()
	lines, events := map[string]int64{}, map[string]int64{}
	for line := range strings.Lines(text) {
		var l struct{ Process, Msg string }
		assert.NilError(t, json.Unmarshal([]byte(line), &l), line)
		if l.Process == process {
			lines[l.Msg]++
		}
	}
	for _, c := range counts {
		events[c.Name] += c.Count
	}
	for event, msg := range map[string]string{
		"refused": "request refused", "retried": "stage retried", "offered_again": "stage offered again", "mark_changed": "crash mark changed",
		"upstream_changed": "upstream changed", "object_in_force": "object in force", "ticket_refused": "ticket refused", "crashed": "upstream crashed under a request",
	} {
		assert.Equal(t, lines[msg], events[event], event)
	}
	assert.Assert(t, events["refused"] > 0 && events["crashed"] > 0 && events["mark_changed"] > 0 && events["upstream_changed"] > 0, "%v", events)
}

// TestDocumented guards against routes that docs/api.md doesn't list.
func TestDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/api.md")
	assert.NilError(t, err)
	r := router.New(router.Config{Name: "r"}, nil, nil)
	adminApp := fiber.New()
	r.Routes(adminApp)
	for _, rt := range append(adminApp.GetRoutes(true), r.App().GetRoutes(true)...) {
		if rt.Method == fiber.MethodHead {
			continue
		}
		path := strings.ReplaceAll(rt.Path, ":name", "{name}")
		assert.Assert(t, strings.Contains(string(page), rt.Method+" "+path+"`"), "%s %s", rt.Method, path)
	}
}

// TestRoutes guards against lists whose paging does not end, a check that applies a
// ticket or reports its changes wrongly, and a team that sees another's accounts.
func TestRoutes(t *testing.T) {
	f := startFleet(t, io.Discard)
	r := f.Routers[0]
	for _, key := range []string{"MARK-key", "installers-key", "nobody"} {
		_, err := local.Post(t.Context(), r.URL, local.Call{Key: key, Pipeline: local.FoldPlan, Body: map[string]any{"prompt": "p", "max_tokens": 2}})
		assert.NilError(t, err)
	}
	t.Run("pages", func(t *testing.T) {
		seen, after := map[string]bool{}, ""
		for {
			var page admin.Objects
			getJSON(t, r.Admin, "/v1/objects?limit=3&after="+url.QueryEscape(after), &page)
			for _, o := range page.Objects {
				assert.Assert(t, !seen[string(o.Kind)+o.Name] && o.Number == 1)
				seen[string(o.Kind)+o.Name] = true
			}
			if after = page.Next; !page.Truncated {
				assert.Equal(t, len(seen), page.Total)
				break
			}
		}
		status, _ := send(t, "GET", "http://"+string(r.Admin)+"/v1/objects?limit=1001", credential, "")
		assert.Equal(t, status, http.StatusBadRequest)
	})
	t.Run("check", func(t *testing.T) {
		body := `{"number":9,"objects":[{"kind":"team","name":"folders","team":{"weight":7,"queue":64}}]}`
		_, text := send(t, "POST", "http://"+string(r.Admin)+"/v1/check", credential, body)
		var c admin.Check
		assert.NilError(t, json.Unmarshal([]byte(text), &c))
		assert.Assert(t, c.Valid && len(c.Changes) == 1 && c.Changes[0].Old.Team.Weight == 3 && c.Changes[0].New.Team.Weight == 7)
		assert.DeepEqual(t, c.Changes[0].Fields, []string{"weight"})
		var objs admin.Objects
		getJSON(t, r.Admin, "/v1/objects?kind=team&prefix=fold", &objs)
		assert.Assert(t, len(objs.Objects) == 1 && objs.Objects[0].Team.Weight == 3 && objs.Number == 1)
	})
	t.Run("accounts", func(t *testing.T) {
		var a admin.Accounts
		status, text := send(t, "GET", r.URL+"/v1/accounts?team=installers", "MARK-key", "")
		assert.NilError(t, json.Unmarshal([]byte(text), &a))
		assert.Assert(t, status == http.StatusOK && len(a.Rows) == 4)
		for _, row := range a.Rows {
			assert.Assert(t, row.Team == local.TeamFolders && row.Useful.Runs == 1)
		}
		status, _ = send(t, "GET", r.URL+"/v1/accounts", "nobody", "")
		assert.Equal(t, status, http.StatusUnauthorized)
		getJSON(t, r.Admin, "/v1/accounts/costs?by=team", &a)
		assert.Equal(t, len(a.Rows), 2)
		getJSON(t, r.Admin, "/v1/accounts/refusals?reason=unauthorised&by=reason", &a)
		assert.Assert(t, len(a.Rows) == 1 && a.Rows[0].Refused.None == 2)
		runs := uint64(0)
		for _, u := range f.Upstreams {
			getJSON(t, u.Admin, "/v1/accounts/costs?by=team", &a)
			for _, row := range a.Rows {
				runs += row.Useful.Runs
			}
		}
		assert.Equal(t, runs, uint64(8))
	})
	t.Run("centre", func(t *testing.T) {
		_, err := f.Publish(f.CentreObject("palermo", wire.CentreStateOut))
		assert.NilError(t, err)
		assert.NilError(t, f.Await(t.Context(), func() error {
			var c admin.Centre
			getJSON(t, r.Admin, "/v1/centres/palermo", &c)
			if !c.Drained() || len(c.Upstreams) == 0 || c.Upstreams[0].State != admin.StateOut {
				return fmt.Errorf("%+v", c)
			}
			return nil
		}))
		var us admin.Upstreams
		getJSON(t, r.Admin, "/v1/upstreams?state=out", &us)
		assert.Equal(t, us.Total, 5)
		status, _ := send(t, "GET", "http://"+string(r.Admin)+"/v1/centres/nowhere", credential, "")
		assert.Equal(t, status, http.StatusNotFound)
	})
}
