import type { Counter } from "./counter";
import type { Distribution } from "./distribution";

/** Holds the metrics of a process. */
export interface MetricsRegistry {
    readonly counter: (name: string, help: string) => Counter;
    readonly distribution: (name: string, help: string) => Distribution;
    /** Registers a value that is read when metrics are rendered. */
    readonly gauge: (name: string, help: string, read: () => number) => void;
    /** Renders all metrics in the Prometheus text format. */
    readonly render: () => string;
}
