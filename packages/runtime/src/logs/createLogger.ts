import { createLogger as createWinstonLogger, format, transports } from "winston";
import type { Logger } from "./logger";

/** Creates a logger that writes JSON lines to standard error. */
export const createLogger = (level: string, fields: Readonly<Record<string, string>>): Logger => {
    const winston = createWinstonLogger({
        level,
        defaultMeta: fields,
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
    return {
        error: (message, extra) => void winston.error(message, extra),
        warn: (message, extra) => void winston.warn(message, extra),
        info: (message, extra) => void winston.info(message, extra),
        debug: (message, extra) => void winston.debug(message, extra),
    };
};
