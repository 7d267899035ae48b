package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/fleet"
)

func platformCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "platform", Short: "Run the platform's metadata table, instance list and weight store", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			deployment, err := fleet.Load(path)
			if err != nil {
				return err
			}
			platform, err := fakes.StartPlatform(deployment.PlatformOptions())
			if err != nil {
				return err
			}
			defer platform.Close()
			return announceAndWait(map[string]string{
				"table": platform.TableAddress(), "list": platform.ListAddress(), "weights": platform.WeightsAddress(),
			})
		},
	}
	command.Flags().StringVar(&path, "deployment", "", "deployment file")
	_ = command.MarkFlagRequired("deployment")
	return command
}

func engineCommand() *cobra.Command {
	var text string
	command := &cobra.Command{
		Use: "runner", Short: "Run a model engine", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var options fakes.EngineOptions
			if err := json.Unmarshal([]byte(text), &options); err != nil {
				return eris.Wrap(err, "decode options")
			}
			options.Crash = func() { os.Exit(2) }
			engine, err := fakes.StartEngine(options)
			if err != nil {
				return err
			}
			defer engine.Close()
			return announceAndWait(map[string]string{"address": engine.Address()})
		},
	}
	command.Flags().StringVar(&text, "options", "{}", "options as JSON")
	return command
}

func plainCommand() *cobra.Command {
	var text string
	command := &cobra.Command{
		Use: "plain", Short: "Run an upstream of a plain service", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var options fakes.PlainServiceOptions
			if err := json.Unmarshal([]byte(text), &options); err != nil {
				return eris.Wrap(err, "decode options")
			}
			service, err := fakes.StartPlainService(options)
			if err != nil {
				return err
			}
			defer service.Close()
			return announceAndWait(map[string]string{"address": service.Address()})
		},
	}
	command.Flags().StringVar(&text, "options", "{}", "options as JSON")
	return command
}

func proxyCommand() *cobra.Command {
	var fronts []string
	command := &cobra.Command{
		Use: "proxy", Short: "Run proxies that inject faults", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			proxies := make(map[string]*fakes.Proxy, len(fronts))
			for _, front := range fronts {
				parts := strings.Split(front, "=")
				if len(parts) != 3 {
					return eris.Errorf("front %q does not have the form name=listen=target", front)
				}
				proxy, err := fakes.StartProxy(parts[1], parts[2])
				if err != nil {
					return err
				}
				defer proxy.Close()
				proxies[parts[0]] = proxy
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return eris.Wrap(err, "listen")
			}
			server := &http.Server{Handler: faultHandler(proxies)}
			go func() { _ = server.Serve(listener) }()
			return announceAndWait(map[string]string{"admin": listener.Addr().String()})
		},
	}
	command.Flags().StringArrayVar(&fronts, "front", nil, "proxy to start, as name=listen=target; repeatable")
	return command
}

// faultHandler serves the requests that set the faults of the proxies.
func faultHandler(proxies map[string]*fakes.Proxy) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		proxy, ok := proxies[r.URL.Query().Get("front")]
		if !ok {
			http.Error(w, "no such front", http.StatusNotFound)
			return
		}
		var faults []fakes.Fault
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		proxy.SetFaults(faults)
	})
	return mux
}

// announceAndWait prints the addresses as one line of JSON, which the starting
// program reads, and waits for SIGINT or SIGTERM.
func announceAndWait(addresses map[string]string) error {
	line, err := json.Marshal(addresses)
	if err != nil {
		return eris.Wrap(err, "encode addresses")
	}
	fmt.Println(string(line))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return nil
}
