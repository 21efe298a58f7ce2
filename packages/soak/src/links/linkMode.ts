/**
 * What a link does to its connections. `half-open` delivers what the connecting side sends and swallows what comes
 * back; `silent` swallows both ways. Connections that fell silent stay so when the link recovers.
 */
export type LinkMode = "pass" | "delay" | "half-open" | "silent" | "refuse";
