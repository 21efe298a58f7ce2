import type { Counter } from "./counter";
import type { Distribution } from "./distribution";
import type { MetricLabels } from "./metricLabels";

/** Registry of the metrics of a process. */
export interface MetricsRegistry {
    readonly counter: (name: string, help: string) => Counter;
    readonly distribution: (name: string, help: string) => Distribution;
    /** Registers a gauge whose value is read each time the metrics are rendered. */
    readonly gauge: (name: string, help: string, read: () => number) => void;
    /** Registers a gauge with a value for each set of labels, read each time the metrics are rendered. */
    readonly labelledGauge: (
        name: string,
        help: string,
        read: () => readonly { readonly labels: MetricLabels; readonly value: number; }[],
    ) => void;
    /** Renders all metrics in the Prometheus text exposition format. */
    readonly render: () => string;
}
