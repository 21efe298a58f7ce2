import type { MetricLabels } from "./metricLabels";

/** A monotonically increasing count for each set of labels. */
export interface Counter {
    readonly add: (amount?: number, labels?: MetricLabels) => void;
}
