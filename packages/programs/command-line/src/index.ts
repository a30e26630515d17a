export const packageName = '@turmericbay/command-line';
