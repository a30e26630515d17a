export const packageName = '@turmericbay/fakes';
