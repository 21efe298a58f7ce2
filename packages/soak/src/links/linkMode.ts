/**
 * How a link treats its connections. `delay` forwards each chunk late, `refuse` resets new connections, `half-open`
 * forwards data from the connecting side and discards the data in the other direction, `silent` discards both. With
 * `unreachable`, no connection can be opened and open ones live on. Connections that were silenced stay silent when the link
 * recovers.
 */
export type LinkMode = "pass" | "delay" | "half-open" | "silent" | "refuse" | "unreachable";
