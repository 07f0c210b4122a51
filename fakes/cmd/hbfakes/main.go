// Command hbfakes runs stand-ins for the systems around hornbeamcove until it is
// interrupted. For each stand-in it prints a line with its kind and address.
//
//	hbfakes -config 127.0.0.1:7000 -tickets tickets/ -hosts 127.0.0.1:7001 -list hosts.json \
//	    -engine 127.0.0.1:7100,127.0.0.1:7101 -plain 127.0.0.1:0 -token-time 20ms
//
// On SIGHUP it reads the tickets and the host list again.
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

// standIn is a server that stands in for one external system.
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

// settings holds the parsed flags.
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

// parse reads the flags from args and from environment variables with the prefix HBFAKES.
func parse(args []string, stderr io.Writer) (*settings, error) {
	s := &settings{services: map[wire.Kind]*listFlag{}}
	fs := flag.NewFlagSet("hbfakes", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.configAddr, "config", "", "listen `address` of the configuration service")
	fs.StringVar(&s.ticketsPath, "tickets", "", "JSON file, or directory of JSON files, with the tickets that the configuration service publishes")
	fs.IntVar(&s.configRate, "rate", 2000, "calls per second that the configuration service accepts; 0 means no limit")
	fs.StringVar(&s.hostsAddr, "hosts", "", "listen `address` of the host list")
	fs.StringVar(&s.hostsFile, "list", "", "JSON file with the host list")
	fs.DurationVar(&s.hostsLag, "lag", 0, "delay after which the host list shows a change")
	fs.StringVar(&s.weightsAddr, "weights", "", "listen `address` of the weight store; if set, engines read weights from it")
	fs.IntVar(&s.weightRate, "weight-rate", 10, "calls per second that the weight store accepts; 0 means no limit")
	fs.Var(&s.engines, "engine", "listen `address` of an engine; may be repeated")
	for _, kind := range []wire.Kind{wire.KindEncode, wire.KindRetrieve, wire.KindRerank, wire.KindPlain} {
		s.services[kind] = &listFlag{}
		fs.Var(s.services[kind], string(kind), "listen `address` of a service of this kind; may be repeated")
	}
	fs.IntVar(&s.slots, "slots", 8, "calls that an upstream runs concurrently")
	fs.IntVar(&s.queueLimit, "queue", 8, "calls that an upstream queues")
	fs.IntVar(&s.coldSlots, "cold", 0, "calls that a cold upstream can hold before it crashes; 0 means upstreams start warm")
	fs.IntVar(&s.warmAfter, "warm", 4, "completed calls after which a cold upstream is warm")
	fs.DurationVar(&s.tokenTime, "token-time", 20*time.Millisecond, "time to produce one output token")
	fs.DurationVar(&s.promptTime, "prompt-time", 20*time.Microsecond, "time to read one uncached prompt token")
	fs.DurationVar(&s.delay, "delay", 5*time.Millisecond, "time that a service takes for a call")
	fs.StringVar(&s.model, "model", "", "model that engines have loaded at start")
	fs.IntVar(&s.version, "version", 1, "version of that model")
	fs.BoolVar(&s.fencing, "fencing", true, "make engines reject orders whose fence is lower than the highest seen")
	fs.StringVar(&s.poison, "poison", "", "text that crashes an upstream when a prompt or body contains it")
	fs.DurationVar(&s.reportLag, "report-lag", 0, "age of the load reports that upstreams return")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("HBFAKES")); err != nil {
		return nil, err
	}
	if fs.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	return s, nil
}

// upstreamOptions returns the options common to engines and services.
func (s *settings) upstreamOptions() []fakes.Option {
	return []fakes.Option{
		fakes.WithSlots(s.slots, s.queueLimit),
		fakes.WithColdStart(s.coldSlots, s.warmAfter),
		fakes.WithPoison(s.poison),
		fakes.WithLag(s.reportLag),
	}
}

// run starts the stand-ins that the flags name and serves until ctx ends. A signal on hup
// makes it reload tickets and hosts.
func run(ctx context.Context, args []string, stdout, stderr io.Writer, hup <-chan os.Signal) error {
	s, err := parse(args, stderr)
	if err != nil {
		return err
	}
	var running []standIn
	defer func() {
		for _, fake := range running {
			fake.Close()
		}
	}()
	launch := func(kind string, fake standIn, addr string) error {
		if err := fake.Start(ctx, addr); err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
		running = append(running, fake)
		fmt.Fprintln(stdout, kind, fake.Addr())
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
		return errors.New("no stand-in to run: set the address of at least one")
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

// load reads the tickets and the host list from the files that the flags name.
func (s *settings) load(config *fakes.Config, hosts *fakes.Hosts) error {
	var ticketsErr, hostsErr error
	if s.ticketsPath != "" {
		ticketsErr = config.Load(s.ticketsPath)
	}
	if s.hostsFile != "" {
		hostsErr = hosts.Load(s.hostsFile)
	}
	return errors.Join(ticketsErr, hostsErr)
}

// start launches every stand-in that has an address. The weight store comes first, because
// engines need its address.
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
			service := fakes.NewService(kind, append(s.upstreamOptions(), fakes.WithDelay(s.delay))...)
			if err := launch(string(kind), service, addr); err != nil {
				return err
			}
		}
	}
	return nil
}
