import type { Counter } from "./counter";
import type { Distribution } from "./distribution";

/** Registry of the metrics of a process. */
export interface MetricsRegistry {
    readonly counter: (name: string, help: string) => Counter;
    readonly distribution: (name: string, help: string) => Distribution;
    /** Registers a gauge whose value is read each time the metrics are rendered. */
    readonly gauge: (name: string, help: string, read: () => number) => void;
    /** Renders all metrics in the Prometheus text exposition format. */
    readonly render: () => string;
}
