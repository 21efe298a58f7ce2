/** Lowest sizes of the classes above the first one. */
const CLASS_LIMITS = [16, 64, 256, 1_024, 4_096, 16_384];

/** Returns the class of a size as a label of metrics: the lowest size of the class. */
export const sizeClass = (size: number): string => String(CLASS_LIMITS.findLast(limit => size >= limit) ?? 0);
