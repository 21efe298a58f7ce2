/** How an HTTP exchange failed: before the request was sent, or after it may have reached the server. */
export type TransportFailure = "not-sent" | "lost";
