/** Result of a command, its exit codes and the format of its failures. */

/** Documented in docs/command-line.md; values above 63 follow sysexits.h. */
export enum ExitCode {
	Success = 0,
	/** Bug in the program. */
	Internal = 1,
	Usage = 2,
	InvalidDocument = 65,
	Unavailable = 69,
	Conflict = 73,
	OutcomeUnknown = 75,
	NotAuthorised = 77,
	InvalidSettings = 78,
}

export type Success = {
	readonly type: 'success';
	/** Output without `--json`. */
	readonly text: string;
	/** Output with `--json`. */
	readonly data: unknown;
	/** Printed to standard error, so that the text can be piped. */
	readonly note?: string;
};

export type Failure = {
	readonly type: 'failure';
	readonly exitCode: ExitCode;
	/** Stable identifier for scripts. */
	readonly code: string;
	readonly message: string;
	/** Hint on what the operator can do. */
	readonly next: string;
	readonly data?: Readonly<Record<string, unknown>>;
};

export type CommandOutcome = Success | Failure;

export const succeed = (options: Omit<Success, 'type'>): Success => ({type: 'success', ...options});

export const fail = (options: Omit<Failure, 'type'>): Failure => ({type: 'failure', ...options});

/** Output of a failure with `--json`. */
export const toFailureData = ({code, message, next, data}: Failure): unknown => ({
	error: {
		code, message, next, ...data,
	},
});

export const formatFailure = ({message, next}: Failure): string => `error: ${message}\nnext: ${next}`;
