/** Returns the id of the start operation of an incarnation; every lease holder that retries it uses the same id. */
export const startOperationId = (service: string, incarnation: number): string => `${service}/${incarnation}`;
