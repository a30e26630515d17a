export const packageName = '@turmericbay/measure';
