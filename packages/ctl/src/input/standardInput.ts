/** File argument that stands for the standard input. */
export const STANDARD_INPUT = "-";
