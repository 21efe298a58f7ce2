/** Name of the standard input among the files of a command. */
export const STANDARD_INPUT = "-";
