import type { MetricLabels } from "./metricLabels";

/** A number that only grows. */
export interface Counter {
    readonly add: (amount?: number, labels?: MetricLabels) => void;
}
