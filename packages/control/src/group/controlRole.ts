/** Role under which control hosts take part in the group. */
export const CONTROL_ROLE = "control";
