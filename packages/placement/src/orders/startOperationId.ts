/** Returns the id of the start operation of one incarnation; every holder that retries it uses the same. */
export const startOperationId = (service: string, incarnation: number): string => `${service}/${incarnation}`;
