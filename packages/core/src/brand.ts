declare const brandName: unique symbol;

/** Nominal subtype of `T`: only code that is responsible for `Name` should produce such values. */
export type Brand<T, Name extends string> = T & { readonly [brandName]: Name; };
