import type { Histogram } from "hdr-histogram-js";
// The package's main module also loads number formats and log writers, which would double the cost of the import.
import { build } from "hdr-histogram-js/dist/HistogramBuilder";
import type { MetricLabels } from "./metricLabels";
import type { MetricsRegistry } from "./metricsRegistry";

const QUANTILES = [0.5, 0.95, 0.99] as const;
const SIGNIFICANT_DIGITS = 2;

const escapeLabel = (value: string): string =>
    value.replace(/["\\\n]/g, character => `\\${character === "\n" ? "n" : character}`);

const renderLabels = (labels: MetricLabels): string => {
    const parts = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`);
    return parts.length === 0 ? "" : `{${parts.join(",")}}`;
};

const header = (name: string, help: string, type: string): string => `# HELP ${name} ${help}\n# TYPE ${name} ${type}\n`;

interface HistogramSeries {
    readonly labels: MetricLabels;
    readonly histogram: Histogram;
    sum: number;
}

const renderSeries = (name: string, { labels, histogram, sum }: HistogramSeries): string =>
    [
        ...QUANTILES.map(quantile =>
            `${name}${renderLabels({ ...labels, quantile: String(quantile) })} ${
                histogram.getValueAtPercentile(quantile * 100)
            }`
        ),
        `${name}_sum${renderLabels(labels)} ${sum}`,
        `${name}_count${renderLabels(labels)} ${histogram.totalCount}`,
    ].join("\n");

/** Creates an empty registry; distributions are rendered as summaries with the quantiles 0.5, 0.95 and 0.99. */
export const createMetricsRegistry = (): MetricsRegistry => {
    const renderers: (() => string)[] = [];

    return {
        counter: (name, help) => {
            const values = new Map<string, number>();
            renderers.push(() =>
                header(name, help, "counter")
                + [...values].map(([labels, value]) => `${name}${labels} ${value}\n`).join("")
            );
            return {
                add: (amount = 1, labels = {}) => {
                    const key = renderLabels(labels);
                    values.set(key, (values.get(key) ?? 0) + amount);
                },
            };
        },
        distribution: (name, help) => {
            const series = new Map<string, HistogramSeries>();
            renderers.push(() =>
                header(name, help, "summary")
                + [...series.values()].map(entry => `${renderSeries(name, entry)}\n`).join("")
            );
            return {
                record: (value, labels = {}) => {
                    const key = renderLabels(labels);
                    const entry = series.get(key)
                        ?? { labels, histogram: build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS }), sum: 0 };
                    entry.histogram.recordValue(Math.max(0, Math.round(value)));
                    entry.sum += value;
                    series.set(key, entry);
                },
            };
        },
        gauge: (name, help, read) => {
            renderers.push(() => `${header(name, help, "gauge")}${name} ${read()}\n`);
        },
        labelledGauge: (name, help, read) => {
            renderers.push(() =>
                header(name, help, "gauge")
                + read().map(({ labels, value }) => `${name}${renderLabels(labels)} ${value}\n`).join("")
            );
        },
        render: () => renderers.map(render => render()).join(""),
    };
};
