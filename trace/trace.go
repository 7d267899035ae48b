// Package trace sets up OpenTelemetry spans and propagates them in W3C headers.
//
// # Usage
//
//	tracer, err := trace.New(trace.Options{File: "spans.json", SampleRatio: 1, Instance: "entry-1"})
//	defer tracer.Close(ctx)
//	ctx, span := tracer.Start(tracer.Extract(ctx, r.Header), "entry")
package trace

import (
	"context"
	"net/http"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Options configure where spans are exported and how many traces are sampled.
type Options struct {
	// URL is the OTLP/HTTP endpoint, empty for none.
	URL string
	// File is the file spans are appended to as JSON, empty for none.
	File string
	// SampleRatio is the sampling ratio of new traces, 0 to 1.
	SampleRatio float64
	Instance    string
}

// Tracer starts spans and propagates their context in headers.
type Tracer struct {
	tracer     oteltrace.Tracer
	propagator propagation.TextMapPropagator
	close      func(ctx context.Context) error
}

// New returns a tracer. Without URL and file it records no spans but still
// propagates the caller's trace context.
func New(options Options) (*Tracer, error) {
	t := &Tracer{
		tracer:     noop.NewTracerProvider().Tracer("cardamom"),
		propagator: propagation.TraceContext{},
		close:      func(context.Context) error { return nil },
	}
	exporter, closeFile, err := newExporter(options)
	if err != nil || exporter == nil {
		return t, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(options.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cardd"),
			attribute.String("service.instance.id", options.Instance),
		)),
	)
	t.tracer = provider.Tracer("cardamom")
	t.close = func(ctx context.Context) error {
		shutdownErr := provider.Shutdown(ctx)
		if closeErr := closeFile(); closeErr != nil {
			return eris.Wrap(closeErr, "close span file")
		}
		return eris.Wrap(shutdownErr, "stop tracer")
	}
	return t, nil
}

func newExporter(options Options) (sdktrace.SpanExporter, func() error, error) {
	noClose := func() error { return nil }
	if options.URL != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(options.URL))
		return exporter, noClose, eris.Wrap(err, "start OTLP exporter")
	}
	if options.File == "" {
		return nil, noClose, nil
	}
	file, err := os.OpenFile(options.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, noClose, eris.Wrap(err, "open span file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	return exporter, file.Close, eris.Wrap(err, "start file exporter")
}

// Start starts a span.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return t.tracer.Start(ctx, name, oteltrace.WithAttributes(attributes...))
}

// Extract returns a context with the trace context of the headers.
func (t *Tracer) Extract(ctx context.Context, header http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace context to the headers.
func (t *Tracer) Inject(ctx context.Context, header http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Close exports the remaining spans and stops the exporter.
func (t *Tracer) Close(ctx context.Context) error { return t.close(ctx) }
