// Command hbfakes runs stand-ins for the systems around hornbeamcove until it is
// interrupted. It prints one line for each: kind, address.
//
//	hbfakes -config 127.0.0.1:7000 -tickets tickets/ -hosts 127.0.0.1:7001 -list hosts.json \
//	    -engine 127.0.0.1:7100,127.0.0.1:7101 -plain 127.0.0.1:0 -token-time 20ms
//
// SIGHUP reads tickets and hosts again.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr, hup)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "hbfakes:", err)
		os.Exit(1)
	}
}

type standIn interface {
	Start(ctx context.Context, addr string) error
	Addr() string
	Close()
}

// listFlag is a flag that may be repeated and holds comma-separated values.
type listFlag []string

func (l *listFlag) String() string { return strings.Join(*l, ",") }

func (l *listFlag) Set(s string) error {
	*l = append(*l, strings.Split(s, ",")...)
	return nil
}

type settings struct {
	configAddr, hostsAddr, weightsAddr      string
	ticketsPath, hostsFile                  string
	hostsLag                                time.Duration
	configRate, weightRate                  int
	engines                                 listFlag
	services                                map[wire.Kind]*listFlag
	slots, queueLimit, coldSlots, warmAfter int
	tokenTime, promptTime                   time.Duration
	delay                                   time.Duration
	model                                   string
	version                                 int
	fencing                                 bool
	poison                                  string
	reportLag                               time.Duration
}

func parse(args []string, stderr io.Writer) (*settings, error) {
	s := &settings{services: map[wire.Kind]*listFlag{}}
	fs := flag.NewFlagSet("hbfakes", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.configAddr, "config", "", "`address` of a configuration service")
	fs.StringVar(&s.ticketsPath, "tickets", "", "file or folder of ticket JSON that the configuration service publishes")
	fs.IntVar(&s.configRate, "rate", 2000, "calls a second that the configuration service answers; 0 for no limit")
	fs.StringVar(&s.hostsAddr, "hosts", "", "`address` of a host list")
	fs.StringVar(&s.hostsFile, "list", "", "file with the JSON of the host list")
	fs.DurationVar(&s.hostsLag, "lag", 0, "lag of the host list")
	fs.StringVar(&s.weightsAddr, "weights", "", "`address` of a weight store, from which engines then load")
	fs.IntVar(&s.weightRate, "weight-rate", 10, "calls a second that the weight store answers; 0 for no limit")
	fs.Var(&s.engines, "engine", "`address` of an engine; may be repeated")
	for _, kind := range []wire.Kind{wire.KindEncode, wire.KindRetrieve, wire.KindRerank, wire.KindPlain} {
		s.services[kind] = &listFlag{}
		fs.Var(s.services[kind], string(kind), "`address` of a service of this kind; may be repeated")
	}
	fs.IntVar(&s.slots, "slots", 8, "calls that an upstream runs at once")
	fs.IntVar(&s.queueLimit, "queue", 8, "calls that wait in an upstream")
	fs.IntVar(&s.coldSlots, "cold", 0, "calls that a cold upstream can hold; 0 to start warm")
	fs.IntVar(&s.warmAfter, "warm", 4, "calls after which a cold upstream is warm")
	fs.DurationVar(&s.tokenTime, "token-time", 20*time.Millisecond, "time of one output token")
	fs.DurationVar(&s.promptTime, "prompt-time", 20*time.Microsecond, "time of one uncached prompt token")
	fs.DurationVar(&s.delay, "delay", 5*time.Millisecond, "time of a call to a service")
	fs.StringVar(&s.model, "model", "", "model that engines have loaded")
	fs.IntVar(&s.version, "version", 1, "version of that model")
	fs.BoolVar(&s.fencing, "fencing", true, "whether engines reject orders with an old fence")
	fs.StringVar(&s.poison, "poison", "", "text that crashes an upstream")
	fs.DurationVar(&s.reportLag, "report-lag", 0, "lag of load reports")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("HBFAKES")); err != nil {
		return nil, err
	}
	if fs.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	return s, nil
}

// upstreamOptions returns the options that engines and services share.
func (s *settings) upstreamOptions() []fakes.Option {
	return []fakes.Option{
		fakes.WithSlots(s.slots, s.queueLimit),
		fakes.WithColdStart(s.coldSlots, s.warmAfter),
		fakes.WithPoison(s.poison),
		fakes.WithLag(s.reportLag),
	}
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer, hup <-chan os.Signal) error {
	s, err := parse(args, stderr)
	if err != nil {
		return err
	}
	var running []standIn
	defer func() {
		for _, one := range running {
			one.Close()
		}
	}()
	launch := func(kind string, one standIn, addr string) error {
		if err := one.Start(ctx, addr); err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
		running = append(running, one)
		fmt.Fprintln(stdout, kind, one.Addr())
		return nil
	}
	config := fakes.NewConfig(fakes.WithRateLimit(s.configRate))
	hosts := fakes.NewHosts(fakes.WithLag(s.hostsLag))
	if err := s.load(config, hosts); err != nil {
		return err
	}
	if err := s.start(config, hosts, launch); err != nil {
		return err
	}
	if len(running) == 0 {
		return errors.New("no stand-in is asked for")
	}
	for {
		select {
		case <-hup:
			if err := s.load(config, hosts); err != nil {
				fmt.Fprintln(stderr, "hbfakes:", err)
			}
			fmt.Fprintln(stdout, "loaded", config.Index())
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *settings) load(config *fakes.Config, hosts *fakes.Hosts) error {
	var err, err2 error
	if s.ticketsPath != "" {
		err = config.Load(s.ticketsPath)
	}
	if s.hostsFile != "" {
		err2 = hosts.Load(s.hostsFile)
	}
	return errors.Join(err, err2)
}

func (s *settings) start(config *fakes.Config, hosts *fakes.Hosts, launch func(string, standIn, string) error) error {
	var weightStore string
	if s.weightsAddr != "" {
		w := fakes.NewWeights(fakes.WithRateLimit(s.weightRate))
		if err := launch("weights", w, s.weightsAddr); err != nil {
			return err
		}
		weightStore = w.Addr()
	}
	if s.configAddr != "" {
		if err := launch("config", config, s.configAddr); err != nil {
			return err
		}
	}
	if s.hostsAddr != "" {
		if err := launch("hosts", hosts, s.hostsAddr); err != nil {
			return err
		}
	}
	for _, addr := range s.engines {
		opts := append(s.upstreamOptions(),
			fakes.WithTokenTime(s.tokenTime, s.promptTime),
			fakes.WithFencing(s.fencing),
			fakes.WithModel(wire.ModelID(s.model), wire.Version(s.version)),
			fakes.WithWeightStore(weightStore))
		if err := launch("engine", fakes.NewEngine(opts...), addr); err != nil {
			return err
		}
	}
	for _, kind := range []wire.Kind{wire.KindEncode, wire.KindRetrieve, wire.KindRerank, wire.KindPlain} {
		for _, addr := range *s.services[kind] {
			one := fakes.NewService(kind, append(s.upstreamOptions(), fakes.WithDelay(s.delay))...)
			if err := launch(string(kind), one, addr); err != nil {
				return err
			}
		}
	}
	return nil
}
