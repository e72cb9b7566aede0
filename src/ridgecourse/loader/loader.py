"""stub"""

from ridgecourse.net.process import Process


class Loader(Process):
    def __init__(self, site):
        self.site = site

    def start(self):
        pass

    def drain(self):
        pass

    def close(self):
        pass
