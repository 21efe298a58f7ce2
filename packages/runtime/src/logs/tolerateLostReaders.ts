/**
 * Keeps the process running when whoever reads its output has gone, such as a collector of logs that is restarted: without a listener,
 * a write that fails would end the process.
 */
export const tolerateLostReaders = (): void =>
    [process.stdout, process.stderr].forEach(stream => stream.on("error", () => undefined));
