import type { MetricLabels } from "./metricLabels";

/** Distribution of recorded values, stored in a high dynamic range (HDR) histogram per time series. */
export interface Distribution {
    /** Records a non-negative value; the histogram rounds it to an integer. */
    readonly record: (value: number, labels?: MetricLabels) => void;
}
