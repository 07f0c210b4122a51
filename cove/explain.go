package cove

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hornbeamcove.example/core/admin"
)

const explainHelp = `Explains where a router of hbentry would send a request now, and why, without
sending it. Nothing changes at the router. -router is the admin address of the
router's settings; with several, each answers for itself.

FILE holds a request line and headers, as in

  POST /fold/7 HTTP/1.1
  Host: plan.example
  Request-Deadline: 6000
  Piece-Count: 1,4

or is - for standard input. Without FILE, -host and -path give the request and
-header adds headers. The caller's API key is read from -key-file, or from
COVE_KEY, and is never printed.`

// keyEnv is the environment variable that holds the API key of the caller to explain for.
const keyEnv = "COVE_KEY"

// explainFlags holds the flags of the command explain.
type explainFlags struct {
	method, host, path, keyFile string
	headers                     headerFlag
}

// headerFlag is a repeatable flag whose values are header lines.
type headerFlag []string

// String implements flag.Value.
func (h *headerFlag) String() string { return strings.Join(*h, ", ") }

// Set implements flag.Value.
func (h *headerFlag) Set(s string) error {
	if name, _, ok := strings.Cut(s, ":"); !ok || strings.TrimSpace(name) == "" || strings.ContainsAny(s, "\r\n") {
		return errors.New("want NAME: VALUE")
	}
	*h = append(*h, s)
	return nil
}

func (a *app) explainCommand(usage io.Writer) *ffcli.Command {
	fs := a.flagSet("explain", usage)
	var f explainFlags
	fs.StringVar(&f.method, "method", http.MethodPost, "`method` of the request")
	fs.StringVar(&f.host, "host", "", "`host` that the request is for")
	fs.StringVar(&f.path, "path", "/", "`path` and query of the request")
	fs.StringVar(&f.keyFile, "key-file", "", "`file` with the caller's API key; without it "+keyEnv+" holds the key")
	fs.Var(&f.headers, "header", "`line` NAME: VALUE of the request; may be repeated")
	fs.Var(&jsonFlag{&a.output}, "json", "print JSON, like -o json")
	noCredential := func() (string, error) { return "", nil } // the routers of hbentry want none
	return a.commandWith(noCredential, fs, []string{"[FILE]"}, runTimeout, "explain where a request would go now, and why", explainHelp,
		func(ctx context.Context, args []string) error { return a.explain(ctx, f, args) })
}

// jsonFlag is a boolean flag that selects JSON output.
type jsonFlag struct{ output *string }

// String implements flag.Value.
func (f *jsonFlag) String() string { return "" }

// IsBoolFlag makes the flag package accept the flag without a value.
func (f *jsonFlag) IsBoolFlag() bool { return true }

// Set implements flag.Value.
func (f *jsonFlag) Set(string) error { *f.output = "json"; return nil }

func (a *app) explain(ctx context.Context, f explainFlags, args []string) (err error) {
	text, err := a.requestText(f, args)
	if err != nil {
		return exitErrorf(ExitUsage, "read request: %w", err)
	}
	got, failed := queryAll(ctx, a, func(ctx context.Context, c *client) (e admin.Explanation, err error) {
		err = c.do(ctx, http.MethodPost, "/explain", bytes.NewReader(text), &e)
		return e, err
	})
	if a.output == "json" {
		if len(got) > 0 {
			err = a.json(got)
		}
	} else {
		for i := range got {
			if err = a.printExplanation(got[i].Router, &got[i].Answer); err != nil {
				return err
			}
		}
	}
	if err != nil {
		return err
	}
	return a.reportFailures(len(got), failed)
}

// requestText returns the request line and the headers of the request to explain, with the caller's
// key.
func (a *app) requestText(f explainFlags, args []string) (text []byte, err error) {
	var req *http.Request
	if len(args) > 0 {
		req, err = a.readRequest(args[0])
	} else {
		req, err = f.request()
	}
	if err != nil {
		return nil, err
	}
	key, err := readSecret(f.keyFile, keyEnv)
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.RequestURI, req.Host)
	if err = req.Header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// readRequest reads a request line and headers from a file, or from standard input for "-". The last
// lines may lack their line ends.
func (a *app) readRequest(name string) (req *http.Request, err error) {
	in := a.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, admin.MaxExplainBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > admin.MaxExplainBytes {
		return nil, fmt.Errorf("longer than %d bytes", admin.MaxExplainBytes)
	}
	return parseRequest(append(data, "\r\n\r\n"...))
}

// request returns the request that the flags describe.
func (f *explainFlags) request() (*http.Request, error) {
	if f.host == "" {
		return nil, errors.New("no request: give a file, or -host and -path")
	}
	if strings.ContainsAny(f.method+f.host+f.path, " \t\r\n") {
		return nil, errors.New("-method, -host and -path must not contain spaces")
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", f.method, f.path, f.host)
	for _, h := range f.headers {
		text += h + "\r\n"
	}
	return parseRequest([]byte(text + "\r\n"))
}

func parseRequest(text []byte) (*http.Request, error) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		return nil, err
	}
	if req.Host == "" {
		return nil, errors.New("the request has no Host")
	}
	return req, nil
}

// printExplanation prints an explanation for people: the verdict, what led to it, and the upstreams.
func (a *app) printExplanation(router string, e *admin.Explanation) error {
	fmt.Fprintf(a.Out, "router %s at %s, configuration %d read %d ms ago\n", quoteUnprintable(string(e.Process)), quoteUnprintable(router), e.Config, e.ConfigAge)
	if e.Send {
		fmt.Fprintf(a.Out, "would be sent to %s: %s\n", quoteUnprintable(string(e.Upstream)), quoteUnprintable(e.Reason))
	} else {
		fmt.Fprintf(a.Out, "would be refused with %d: %s", e.Status, quoteUnprintable(e.Reason))
		if e.Retry > 0 {
			fmt.Fprintf(a.Out, ", Retry-After at least %d ms", e.Retry)
		}
		fmt.Fprintln(a.Out)
	}
	fmt.Fprintf(a.Out, "route %s, service %s, team %s, rank %d, %d ms left, aim in %d ms\n",
		quoteUnprintable(string(e.Route)), quoteUnprintable(string(e.Service)), quoteUnprintable(string(e.Team)), e.Rank, e.Left, e.Aim)
	if f := e.Forecast; f != nil {
		fmt.Fprintf(a.Out, "forecast %d ms, usually %d ms more", f.Total, f.Error)
		if f.Late {
			fmt.Fprint(a.Out, ", behind all that can be on time")
		}
		fmt.Fprintln(a.Out)
		t := &table{header: []string{"STAGE", "SERVICE", "PIECES", "WAITING", "RATE", "WAIT", "PRESSURE", "OVER"}}
		for i, s := range f.Stages {
			t.add(i, s.Service, s.Pieces, s.Waiting, fmt.Sprintf("%.1f", s.Rate), fmt.Sprint(s.Wait, "ms"), fmt.Sprintf("%.2f", s.Pressure), fmt.Sprintf("%.2f", s.Over))
		}
		if err := t.write(a.Out); err != nil {
			return err
		}
	}
	t := &table{header: []string{"UPSTREAM", "CENTRE", "SOFTWARE", "STATE", "FLIGHT", "PENALTY", "LOAD", "AGE", "PACE"}}
	for _, u := range e.Targets {
		age := "-"
		if u.LoadAge >= 0 {
			age = fmt.Sprint(u.LoadAge, "ms")
		}
		t.add(u.Upstream, u.Centre, u.Software, u.State, u.InFlight, fmt.Sprintf("%.1f", u.Penalty), fmt.Sprintf("%.1f", u.Load), age, fmt.Sprintf("%.2f", u.Pace))
	}
	return t.write(a.Out)
}
