const MINIMUM_FINAL_STATUS = 200;
const MAXIMUM_FINAL_STATUS = 599;

/**
 * Whether a number is the status of a final response. Parsers of HTTP take any three digits, of which Node.js refuses to send
 * those below 100.
 */
export const isFinalStatus = (status: number): boolean =>
    status >= MINIMUM_FINAL_STATUS && status <= MAXIMUM_FINAL_STATUS;
