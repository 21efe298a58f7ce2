/** Membership role of control hosts. */
export const CONTROL_ROLE = "control";
