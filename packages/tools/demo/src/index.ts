export const packageName = '@turmericbay/demo';
