/** Fields of a log record; must not contain prompts, keys or tokens. */
type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured log records. */
export interface Logger {
    readonly error: (message: string, fields?: LogFields) => void;
    readonly warn: (message: string, fields?: LogFields) => void;
    readonly info: (message: string, fields?: LogFields) => void;
    readonly debug: (message: string, fields?: LogFields) => void;
}
