"""The platform that is used if the settings name none."""

from typing import NoReturn

from daisywharf._errors import ErrorKind, PlatformError


class AbsentPlatform:
    """Raise `PlatformError` (unavailable) on each call."""

    def _refuse(self, *arguments: object, **options: object) -> NoReturn:
        message = "the settings name no platform; add `platform: http://HOST:PORT`"
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, message)

    get = _refuse
    list = _refuse
    create = _refuse
    update = _refuse
    delete = _refuse
    watch = _refuse
