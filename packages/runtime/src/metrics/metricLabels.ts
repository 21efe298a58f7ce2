/** Labels of one time series. */
export type MetricLabels = Readonly<Record<string, string>>;
