import type { MetricLabels } from "./metricLabels";

/** Distribution of values, kept in a high dynamic range histogram. */
export interface Distribution {
    /** Records a non-negative value; fractions are rounded. */
    readonly record: (value: number, labels?: MetricLabels) => void;
}
