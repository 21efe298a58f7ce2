/** Longest delay of a timer of Node.js; a longer one would end at once. */
export const MAXIMUM_TIMER_MS = 2_147_483_647;
