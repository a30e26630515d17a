declare module 'ini' {
	export function parse(text: string, options?: {readonly bracketedArray?: boolean}): Record<string, unknown>;
}
