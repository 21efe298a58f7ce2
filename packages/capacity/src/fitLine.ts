import type { Fit } from "./fit";

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Fits a line by least squares; the slope is 0 when all points have the same x. */
export const fitLine = (points: readonly (readonly [x: number, y: number])[]): Fit => {
    const meanX = sum(points.map(([x]) => x)) / points.length;
    const meanY = sum(points.map(([, y]) => y)) / points.length;
    const varianceX = sum(points.map(([x]) => (x - meanX) ** 2));
    const slope = varianceX === 0 ? 0 : sum(points.map(([x, y]) => (x - meanX) * (y - meanY))) / varianceX;
    const intercept = meanY - slope * meanX;
    const residuals = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
    return { intercept, slope, greatestResidual: Math.max(...residuals) };
};
