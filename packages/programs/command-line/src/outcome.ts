/** What a command ends with, before it is printed. */

/** Documented in docs/command-line.md; values above 63 follow sysexits.h. */
export enum ExitCode {
	Done = 0,
	/** A fault of the program. */
	Internal = 1,
	Usage = 2,
	InvalidDocument = 65,
	Unavailable = 69,
	Conflict = 73,
	OutcomeUnknown = 75,
	NotAuthorised = 77,
	BadSettings = 78,
}

export type Success = {
	readonly type: 'success';
	/** What a person reads. */
	readonly text: string;
	/** What `--json` prints. */
	readonly data: unknown;
	/** Goes to standard error, so that the text can be piped. */
	readonly note?: string;
};

export type Failure = {
	readonly type: 'failure';
	readonly exitCode: ExitCode;
	/** Stable name of the error. */
	readonly code: string;
	readonly message: string;
	/** What to do next. */
	readonly next: string;
	readonly data?: Readonly<Record<string, unknown>>;
};

export type CommandOutcome = Success | Failure;

export const succeed = (options: Omit<Success, 'type'>): Success => ({type: 'success', ...options});

export const fail = (options: Omit<Failure, 'type'>): Failure => ({type: 'failure', ...options});

/** The object that `--json` prints for a failure. */
export const toFailureData = ({code, message, next, data}: Failure): unknown => ({
	error: {
		code, message, next, ...data,
	},
});

export const formatFailure = ({message, next}: Failure): string => `error: ${message}\nnext: ${next}`;
