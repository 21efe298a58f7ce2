/** Labels of a time series: values by label name. */
export type MetricLabels = Readonly<Record<string, string>>;
