/** Returns the key under which the plan of a service is stored. */
export const planKey = (service: string): string => `control/plans/${service}`;
